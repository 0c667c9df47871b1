/** Builds the client messages that the proxy sends to targets. */
import { serialize } from 'pg-protocol';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { BindMessage, ParseMessage } from './client-messages.js';
import { CLIENT } from './message-types.js';

/** Builds a copy of a Parse message with a different statement name. */
export function buildParse(message: ParseMessage, name: string): Buffer {
  const writer = new Writer();
  writer.addCString(name).addCString(message.text).add(message.parameterTypes);
  return writer.flush(CLIENT.parse);
}

/** Builds a copy of a Bind message with a different statement name. */
export function buildBind(message: BindMessage, statement: string): Buffer {
  const writer = new Writer(message.encodedParameters.length + 256);
  writer.addCString(message.portal).addCString(statement).add(message.encodedParameters);
  return writer.flush(CLIENT.bind);
}

export function buildDescribeStatement(name: string): Buffer {
  return serialize.describe({ type: 'S', name });
}

export function buildCloseStatement(name: string): Buffer {
  return serialize.close({ type: 'S', name });
}

export function buildQuery(text: string): Buffer {
  return serialize.query(text);
}

/**
 * Builds messages to which a target answers with `number`: an empty statement with one parameter, whose type has that
 * number, its description, and a Sync. They run nothing, change no transaction and are answered in a failed one.
 * The answer is ParseComplete, ParameterDescription, NoData and ReadyForQuery.
 *
 * @param number from 1 to 2,147,483,647
 */
export function buildEcho(number: number): Buffer {
  const parse = new Writer().addCString('').addCString('').addInt16(1).addInt32(number);
  return Buffer.concat([parse.flush(CLIENT.parse), buildDescribeStatement(''), serialize.sync()]);
}

export function buildStartup(parameters: Record<string, string>): Buffer {
  return serialize.startup(parameters);
}

export function buildPassword(password: string): Buffer {
  return serialize.password(password);
}

export function buildTerminate(): Buffer {
  return serialize.end();
}

export function buildCancel(processId: number, secretKey: number): Buffer {
  return serialize.cancel(processId, secretKey);
}

export function buildSslRequest(): Buffer {
  return serialize.requestSsl();
}
