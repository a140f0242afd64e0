"""The supervisor of a dispatcher or model host: carries out the fleet's orders to drain, restart and upgrade it."""
