"""Start the daemon from a checkout; the platform puts target/deps on the path."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pomeloyard.platform.daemon import main

sys.exit(main())
