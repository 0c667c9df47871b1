/** Type bytes of PostgreSQL protocol 3 messages. */

const typeByte = (letter: string): number => letter.charCodeAt(0);

/** Type bytes of the messages that a client sends. */
export const CLIENT = {
  bind: typeByte('B'),
  close: typeByte('C'),
  copyData: typeByte('d'),
  copyDone: typeByte('c'),
  copyFail: typeByte('f'),
  describe: typeByte('D'),
  execute: typeByte('E'),
  flush: typeByte('H'),
  functionCall: typeByte('F'),
  parse: typeByte('P'),
  password: typeByte('p'),
  query: typeByte('Q'),
  sync: typeByte('S'),
  terminate: typeByte('X'),
} as const;

/** Type bytes of the messages that a server sends. */
export const SERVER = {
  authentication: typeByte('R'),
  backendKeyData: typeByte('K'),
  bindComplete: typeByte('2'),
  closeComplete: typeByte('3'),
  commandComplete: typeByte('C'),
  copyInResponse: typeByte('G'),
  copyOutResponse: typeByte('H'),
  dataRow: typeByte('D'),
  emptyQueryResponse: typeByte('I'),
  errorResponse: typeByte('E'),
  noData: typeByte('n'),
  noticeResponse: typeByte('N'),
  notificationResponse: typeByte('A'),
  parameterDescription: typeByte('t'),
  parameterStatus: typeByte('S'),
  parseComplete: typeByte('1'),
  portalSuspended: typeByte('s'),
  readyForQuery: typeByte('Z'),
  rowDescription: typeByte('T'),
} as const;
