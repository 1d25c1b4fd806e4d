"""Stand-in of the users' platform, with faults that tests switch on.

It serves the platform's protocol: rows with change feeds, workers that run
tasks under leases, VMs in pools, and the advice service.
"""

from examples.standins.site.site import Site

__all__ = ['Site']
