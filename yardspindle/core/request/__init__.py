"""One request's life: taken, sent, answered, let go of."""
