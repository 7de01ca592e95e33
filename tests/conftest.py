"""Makes the fixtures of hookport.rehearsal available to all tests."""

pytest_plugins = ["hookport.rehearsal.fixtures"]
