package check

// maxMisspelling is the greatest number of letters in which a misspelt name differs from the known
// one.
const maxMisspelling = 2

// lettersPerMisspelling is the number of letters that a name has at least for each that differs.
const lettersPerMisspelling = 4

// Misspelt returns the known name that an unknown name resembles, or "".
func Misspelt(name string, known []string) string {
	best, bestDistance := "", min(maxMisspelling, len(name)/lettersPerMisspelling)+1
	for _, k := range known {
		if abs(len(k)-len(name)) >= bestDistance {
			continue
		}
		if d := distance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }

// distance returns the number of letters that have to be added, removed or replaced to turn a
// into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
