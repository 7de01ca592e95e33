pytest_plugins = ["hookport.rehearsal.fixtures"]
