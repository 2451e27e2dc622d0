"""Everything a front was told and everything it decided, in one ordered stream, and the same decisions again."""
