"""Stand-in of the users' platform, with faults that tests switch on.

It speaks the platform's protocol: rows with feeds, workers that run tasks
under leases, VMs in pools, and the policy service.
"""

from examples.standins.site.site import Site

__all__ = ['Site']
