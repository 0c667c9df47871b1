/** A client's session with one daemon. */
import { connect, type Socket } from 'node:net';
import { hostAndPort, readLines } from './wire.js';

export interface Answer {
  /** `closed` if the connection ended before the answer was whole, `late` without an answer in time. */
  readonly end: 'whole' | 'closed' | 'late';
  readonly rows: readonly string[];
  readonly done: string | undefined;
  readonly error: string | undefined;
  readonly ready: string | undefined;
}

export interface ClientSession {
  readonly socket: Socket;
  readonly isOpen: () => boolean;
  readonly query: (id: string, text: string, timeoutMs: number) => Promise<Answer>;
  readonly close: () => void;
}

interface Pending {
  readonly rows: string[];
  done: string | undefined;
  error: string | undefined;
  readonly settle: (end: Answer['end'], ready: string | undefined) => void;
}

/** Opens a session; `undefined` if there is no READY within 2 s. */
export async function openSession(
  address: string,
  database: string,
  key: string,
): Promise<ClientSession | undefined> {
  const { host, port } = hostAndPort(address);
  const socket = connect({ host, port, noDelay: true });
  let pending: Pending | undefined;
  let isOpen = true;
  const wait = (timeoutMs: number) =>
    new Promise<Answer>((resolve) => {
      const timer = setTimeout(() => {
        settle('late', undefined);
      }, timeoutMs);
      const settle = (end: Answer['end'], ready: string | undefined) => {
        clearTimeout(timer);
        const { rows, done, error } = current;
        pending = undefined;
        resolve({ end, rows, done, error, ready });
      };
      const current: Pending = { rows: [], done: undefined, error: undefined, settle };
      pending = current;
    });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    isOpen = false;
    pending?.settle('closed', undefined);
  });
  readLines(socket, (line) => {
    if (!pending) return;
    if (line.startsWith('ROW ')) pending.rows.push(line.slice(4));
    else if (line.startsWith('DONE ')) pending.done = line.slice(5);
    else if (line.startsWith('ERR ')) pending.error = line.slice(4);
    else if (line.startsWith('READY ')) pending.settle('whole', line.slice(6));
  });
  const started = wait(2_000);
  socket.write(`START ${database} ${key}\r\n`, 'latin1');
  const answer = await started;
  if (answer.end !== 'whole') {
    socket.destroy();
    return undefined;
  }
  return {
    socket,
    isOpen: () => isOpen,
    query: (id, text, timeoutMs) => {
      if (!isOpen) {
        const nothing = { rows: [], done: undefined, error: undefined, ready: undefined };
        return Promise.resolve({ end: 'closed', ...nothing });
      }
      const answered = wait(timeoutMs);
      socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
      return answered;
    },
    close: () => {
      socket.destroy();
    },
  };
}

let idCount = 0;

export function newId(): string {
  idCount += 1;
  return `${(Date.now() % 0xfffffff).toString(16)}${idCount.toString(16).padStart(6, '0')}`;
}
