"""The program beside a dispatcher or model host: carries out the orders of who acts for the fleet."""
