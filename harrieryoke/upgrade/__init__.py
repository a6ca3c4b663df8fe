"""Zero-downtime upgrade: a new process takes over the socket, the clients, the learned state and the bans."""
