/* eslint-disable @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access -- plain JavaScript without types */
/** What the scripts of all cases share: the record, the exit codes and the clean end. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

const LIMIT_MS = 110_000;

/**
 * Runs a case: `play(context)` resolves with a list of sentences, one for each way in which the rule was
 * broken. Exits with 1 if there are any, 0 if there are none, and 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const startedMs = performance.now();
  const lines = [];
  const clean = [];
  const record = (text) => {
    const atS = ((performance.now() - startedMs) / 1000).toFixed(3).padStart(8);
    lines.push(`${atS} ${text}`);
  };
  const isTroubled = process.env.TROUBLE !== '0';
  record(`TROUBLE=${isTroubled ? '1' : '0'}`);
  let isFinishing = false;
  const finish = async (code, text) => {
    if (isFinishing) return;
    isFinishing = true;
    record(text);
    for (const step of clean.reverse()) await step();
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  // Nothing that a script has started may outlive it.
  process.on('uncaughtException', (error) => void finish(2, `the case failed: ${error.stack}`));
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void finish(2, `the case was ended by ${signal}`));
  }
  const timer = setTimeout(() => void finish(2, 'the case did not end in time'), LIMIT_MS);
  try {
    const broken = await play({ record, isTroubled, atEnd: (step) => clean.push(step) });
    clearTimeout(timer);
    for (const text of broken) record(`BROKEN: ${text}`);
    if (broken.length > 0) await finish(1, `the rule was broken: ${broken[0]}`);
    else await finish(0, 'the rule held');
  } catch (error) {
    clearTimeout(timer);
    await finish(2, `the case could not run: ${error.stack}`);
  }
}
