/** Asks an entry of the statement dialect over HTTP, at the address of its metrics. */
import type { CallOutcome } from './control-call.js';

export interface ExplainQuestion {
  readonly database: string;
  readonly customer: string;
  readonly access: 'read' | 'write';
  readonly mark: { readonly term: number; readonly offset: number } | null;
  readonly maxAgeMs: number | null;
}

/** Longer than the entry waits for owner and reader. */
const REQUEST_TIMEOUT_MS = 5_000;

/**
 * Asks an entry where a statement would go.
 *
 * @example
 * await askEntry('127.0.0.1:9102', { database, customer, access: 'read', mark: null, maxAgeMs: null });
 */
export async function askEntry(address: string, question: ExplainQuestion): Promise<CallOutcome> {
  const { mark, maxAgeMs, ...names } = question;
  const search = new URLSearchParams(names);
  if (mark) search.set('mark', `${mark.term}.${mark.offset}`);
  if (maxAgeMs !== null) search.set('maxAgeMs', String(maxAgeMs));
  try {
    const response = await fetch(`http://${address}/-/explain?${search.toString()}`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await response.text();
    if (response.ok) return { kind: 'ok', result: JSON.parse(text) as unknown };
    return refusalOf(address, response.status, text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: 'unreachable', message: `${address}: ${reason}` };
  }
}

/** An answer without JSON is from an entry of an earlier version, or from something else at the address. */
function refusalOf(address: string, status: number, text: string): CallOutcome {
  try {
    const { code, message } = JSON.parse(text) as { code: string; message: string };
    return { kind: 'refused', code, message, detail: undefined };
  } catch {
    const message = `${address} does not explain statements (HTTP status ${status})`;
    return { kind: 'refused', code: 'bad-request', message, detail: undefined };
  }
}
