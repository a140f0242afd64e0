"""Which texts are kept where: blocks, indexes, events, guesses."""
