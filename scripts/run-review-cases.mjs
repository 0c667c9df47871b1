// Usage: run-review-cases.mjs [NUMBER...]
// Runs the cases of review/, all of them by default, in the order of their numbers and one at a time, against the program in
// target/. Prints a line for each. Exits with 0 if there are cases and the rule held in all; a case that could not run fails.
// Without numbers, a case that KNOWN-RED.txt lists (`shown by review/N`) is held out and printed as `not run`.
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';

/** A case ends by itself after 110 s at the latest. */
const LIMIT_MS = 120_000;
const END_LIMIT_MS = 10_000;
const FILE_TIME_MARGIN_MS = 20;

const allNumbers = readdirSync('review')
  .filter((name) => existsSync(`review/${name}/run.sh`))
  .map(Number)
  .sort((a, b) => a - b);
const [, script, ...selected] = process.argv;
if (selected.length === 0 && allNumbers.length > 0) {
  const known = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
  const heldOut = [...known.matchAll(/^shown by review\/(\d+)/gm)].map((match) => Number(match[1]));
  for (const number of heldOut) console.log(`review/${number}: not run, KNOWN-RED.txt lists it`);
  // A case may end at once unless the runner was given numbers.
  const rest = allNumbers.filter((number) => !heldOut.includes(number)).map(String);
  if (rest.length === 0) process.exit(0);
  process.exit(spawnSync(process.execPath, [script, ...rest], { stdio: 'inherit' }).status ?? 1);
}
const numbers = selected.map(Number);

/** Runs a case; resolves with its exit code, undefined if it was ended, and what it has printed. */
function runCase(number) {
  const child = spawn('sh', [`review/${number}/run.sh`], { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (text) => (output += text));
  // The case stops its processes on SIGTERM.
  const timers = [
    setTimeout(() => child.kill('SIGTERM'), LIMIT_MS),
    setTimeout(() => child.kill('SIGKILL'), LIMIT_MS + END_LIMIT_MS),
  ];
  return new Promise((resolve) => {
    child.on('close', (code) => {
      for (const timer of timers) clearTimeout(timer);
      resolve({ code: code ?? undefined, output: output.trim() });
    });
  });
}

/** Whether a case has written its record since it was started. */
function hasRecord(number, startedAtMs) {
  const stats = statSync(`review/${number}/record.txt`, { throwIfNoEntry: false });
  return stats !== undefined && stats.mtimeMs >= startedAtMs;
}

function describeOutcome(code, isRecorded) {
  switch (code) {
    case 0:
      return isRecorded ? 'held' : 'not run';
    case 1:
      return 'BROKEN';
    case 2:
      return 'COULD NOT RUN';
    default:
      return `ENDED with ${code ?? 'a signal'}`;
  }
}

let failedCount = 0;
for (const number of numbers) {
  const startedMs = performance.now();
  // File systems keep times at a coarser resolution than the clock.
  const startedAtMs = Date.now() - FILE_TIME_MARGIN_MS;
  const { code, output } = await runCase(number);
  const durationS = Math.round((performance.now() - startedMs) / 1000);
  const outcome = describeOutcome(code, hasRecord(number, startedAtMs));
  console.log(`review/${number}: ${outcome} after ${durationS} s`);
  if (outcome === 'held') continue;
  failedCount += 1;
  console.log(`${output}\nrecord: review/${number}/record.txt`);
}
if (numbers.length === 0) console.error('review/ has no cases');
process.exit(numbers.length > 0 && failedCount === 0 ? 0 : 1);
