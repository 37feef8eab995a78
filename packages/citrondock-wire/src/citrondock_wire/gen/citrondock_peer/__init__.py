__all__ = ['ttypes', 'constants', 'PeerService']
