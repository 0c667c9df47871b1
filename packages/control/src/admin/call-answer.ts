/** Answers to operator calls. */

export type CallAnswer =
  | { readonly kind: 'ok'; readonly result: unknown }
  | {
      readonly kind: 'error';
      readonly code: 'bad-request' | 'denied' | 'conflict' | 'unavailable' | 'not-found';
      readonly message: string;
      readonly detail?: unknown;
    };

/**
 * Builds the answer to a call that failed.
 *
 * @example
 * failure('conflict', 'the evacuation of ub-a has changed');
 */
export function failure(
  code: Extract<CallAnswer, { kind: 'error' }>['code'],
  message: string,
  detail?: unknown,
): CallAnswer {
  return { kind: 'error', code, message, detail };
}
