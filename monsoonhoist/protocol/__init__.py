"""Messages between instances, and the events and commands of the kernels."""
