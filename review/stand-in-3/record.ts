/** What a case sends, gets and sees, in the order of time. */
import { writeFileSync } from 'node:fs';

export interface Recorder {
  readonly note: (text: string) => void;
  readonly save: () => void;
}

export function createRecorder(file: string): Recorder {
  const startedAtMs = performance.now();
  const lines: string[] = [];
  return {
    note: (text) => {
      const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
      const short = text.length > 600 ? `${copyOfStart(text, 600)}… (${text.length} bytes)` : text;
      lines.push(`${seconds.padStart(8)} ${short}`);
    },
    save: () => {
      writeFileSync(file, `${lines.join('\n')}\n`);
    },
  };
}

/** The start of a text; a slice would keep all of the text in memory. */
export function copyOfStart(text: string, length: number): string {
  return Buffer.from(text.slice(0, length), 'latin1').toString('latin1');
}
