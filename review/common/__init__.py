"""Stand-ins and checks shared by the cases of the review."""

from gevent import monkey

monkey.patch_all()
