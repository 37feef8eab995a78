"""Wire formats and clients for peer routers, the platform and targets."""
