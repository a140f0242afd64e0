"""The supervisor of a unit (a dispatcher or model host): carries out orders to drain, restart and upgrade it."""
