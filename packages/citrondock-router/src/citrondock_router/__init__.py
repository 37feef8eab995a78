"""The router: forwards requests of client accounts to targets."""
