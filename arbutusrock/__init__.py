"""Fleet capacity and maintenance manager."""

__all__ = ['__version__']

__version__ = '0.1.0'
