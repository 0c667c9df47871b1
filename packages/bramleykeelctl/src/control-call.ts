/** Calls control over HTTP, with failover between its members. */

export interface ControlAccess {
  readonly addresses: readonly string[];
  readonly token: string;
}

export type CallOutcome =
  | { readonly kind: 'ok'; readonly result: unknown }
  | {
      readonly kind: 'refused';
      readonly code: string;
      readonly message: string;
      readonly detail: unknown;
    }
  | { readonly kind: 'unreachable'; readonly message: string };

/** Longer than the 60 s that control accepts as the timeout of `settings/await`. */
const AWAIT_REVISION_TIMEOUT_MS = 70_000;
const REQUEST_TIMEOUT_MS = 5_000;
/** Number of times that all members are tried. */
const MAX_ROUNDS = 20;
const ROUND_DELAY_MS = 250;

/**
 * Calls a method and tries the next member if one does not answer or knows no leader. Changes to
 * settings carry an operation id, so that a retry is answered but not applied a second time.
 *
 * @example
 * await callControl(access, 'settings/list', {});
 */
export async function callControl(
  access: ControlAccess,
  method: string,
  params: unknown,
): Promise<CallOutcome> {
  let lastOutcome: CallOutcome = { kind: 'unreachable', message: 'no control address was given' };
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    for (const address of access.addresses) {
      const outcome = await callMember(address, access.token, method, params);
      const isFinal = outcome.kind === 'ok' || isFinalRefusal(outcome);
      if (isFinal) return outcome;
      lastOutcome = outcome;
    }
    await new Promise((resolve) => setTimeout(resolve, ROUND_DELAY_MS));
  }
  return lastOutcome;
}

function isFinalRefusal(outcome: CallOutcome): boolean {
  return outcome.kind === 'refused' && outcome.code !== 'unavailable';
}

async function callMember(
  address: string,
  token: string,
  method: string,
  params: unknown,
): Promise<CallOutcome> {
  const timeoutMs = method === 'settings/await' ? AWAIT_REVISION_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
  try {
    const response = await fetch(`http://${address}/v1/${method}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: JSON.stringify(params),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const body = await response.json();
    if (response.ok) return { kind: 'ok', result: body };
    const { code, message, detail } = body as { code?: string; message: string; detail?: unknown };
    return { kind: 'refused', code: code ?? 'bad-request', message, detail };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: 'unreachable', message: `${address}: ${reason}` };
  }
}
