"""Property tests try the same cases in each run, without a time limit."""

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, print_blob=False
)
hypothesis.settings.load_profile('ci')
