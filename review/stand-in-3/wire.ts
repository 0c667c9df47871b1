/** Lines of the wire protocol: a line ends in CR LF; its bytes are characters (latin1). */
import type { Socket } from 'node:net';

/** Calls `onLine` for each whole line that arrives. */
export function readLines(socket: Socket, onLine: (line: string) => void): void {
  let pieces: string[] = [];
  socket.on('data', (chunk: Buffer) => {
    const text = chunk.toString('latin1');
    pieces.push(text);
    if (!text.includes('\n')) return;
    const lines = pieces.join('').split('\r\n');
    const rest = lines.pop() ?? '';
    pieces = rest === '' ? [] : [rest];
    for (const line of lines) onLine(line);
  });
}

/** Splits off the first `count` fields; the last element is the rest of the line. */
export function fieldsOf(line: string, count: number): string[] {
  const fields: string[] = [];
  let rest = line;
  while (fields.length < count) {
    const blank = rest.indexOf(' ');
    if (blank < 0) break;
    // A slice would keep all of a long line in memory.
    fields.push(Buffer.from(rest.slice(0, blank), 'latin1').toString('latin1'));
    rest = rest.slice(blank + 1);
  }
  return [...fields, rest];
}

export function hostAndPort(address: string): { readonly host: string; readonly port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}
