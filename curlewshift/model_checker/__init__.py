"""All that can happen to one viewing, in every order up to a depth, and the rules checked after each step."""
