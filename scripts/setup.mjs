// Installs the locked dependencies when they are missing or out of date, then compiles the workspace.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

const stampFile = 'node_modules/.bramleykeel-lock';
const lock = readFileSync('package-lock.json', 'utf8');
const isInstalled = existsSync(stampFile) && readFileSync(stampFile, 'utf8') === lock;

function run(command, args) {
  const result = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (!isInstalled) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel', 'error']);
  writeFileSync(stampFile, lock);
}
run('node_modules/.bin/tsc', ['-b']);
