/** Channel from an owner back to an entry: a link, or a direct call within one process. */
import type { FromOwnerMessage } from '@bramleykeel/core';

export interface AnswerChannel {
  readonly send: (message: FromOwnerMessage) => void;
}
