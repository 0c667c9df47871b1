// Usage: run-review-cases.mjs [NUMBER...]
// Runs the cases of review/, all of them by default, in the order of their numbers and one at a time, against the program in
// target/. Prints a line for each. Exits with 0 if there are cases and the rule held in all; a case that could not run fails.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync } from 'node:fs';

/** A case ends by itself after 110 s at the latest. */
const LIMIT_MS = 120_000;
const END_LIMIT_MS = 10_000;

const allNumbers = readdirSync('review')
  .filter((name) => existsSync(`review/${name}/run.sh`))
  .map(Number)
  .sort((a, b) => a - b);
const selected = process.argv.slice(2).map(Number);
const numbers = selected.length > 0 ? selected : allNumbers;

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

function describeOutcome(code) {
  switch (code) {
    case 0:
      return 'held';
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
  const { code, output } = await runCase(number);
  const durationS = Math.round((performance.now() - startedMs) / 1000);
  console.log(`review/${number}: ${describeOutcome(code)} after ${durationS} s`);
  if (code === 0) continue;
  failedCount += 1;
  console.log(`${output}\nrecord: review/${number}/record.txt`);
}
if (numbers.length === 0) console.error('review/ has no cases');
process.exit(numbers.length > 0 && failedCount === 0 ? 0 : 1);
