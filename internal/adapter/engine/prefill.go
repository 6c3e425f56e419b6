package engine

import "strconv"

// PrefillData returns the data of token 0 for the first stage: the seed in decimal, a
// line feed and the prompt. The data of a later token is the text of the previous
// token.
func PrefillData(prompt string, seed int64) string {
	return strconv.FormatInt(seed, 10) + "\n" + prompt
}
