// Installs the declared dependencies when they are missing or out of date.
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

const INSTALL_MARKER = 'node_modules/.package-lock.json';

/** Tells whether node_modules is older than the lock file. */
function isInstallNeeded() {
  if (!existsSync(INSTALL_MARKER)) return true;
  return (
    statSync(INSTALL_MARKER).mtimeMs < statSync('package-lock.json').mtimeMs
  );
}

if (isInstallNeeded()) {
  const res = spawnSync('npm', ['ci', '--prefer-offline', '--no-audit'], {
    stdio: 'inherit',
  });
  process.exit(res.status ?? 1);
}
