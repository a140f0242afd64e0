"""What the processes of a fleet share, behind one interface: etcd by its JSON gateway, or a file on one machine."""
