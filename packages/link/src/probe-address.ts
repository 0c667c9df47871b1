/** Checks whether a process listens at an address and whether it responds. */
import { createConnection } from 'node:net';
import { type ProbeResult, splitAddress } from '@bramleykeel/core';
import { startInputDeadline } from './input-deadline.js';

/**
 * Tries to connect. If a `request` is given, sends it and counts only received data as an answer, because the
 * kernel accepts connections for a suspended process too.
 *
 * `refused` proves that no process listens at the address; `silent` is inconclusive.
 *
 * @example
 * await probeAddress('127.0.0.1:7001', 500); // 'refused'
 */
export function probeAddress(
  address: string,
  timeoutMs: number,
  request?: Buffer,
): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = createConnection(splitAddress(address));
    const finish = (result: ProbeResult) => {
      endDeadline();
      socket.destroy();
      resolve(result);
    };
    const endDeadline = startInputDeadline(timeoutMs, () => {
      finish('silent');
    });
    socket.once('connect', () => {
      if (request) socket.write(request);
      else finish('answered');
    });
    socket.once('data', () => {
      finish('answered');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
    socket.once('end', () => {
      finish('silent');
    });
  });
}
