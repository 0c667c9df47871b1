/** Type bytes of PostgreSQL v3 messages. */

const code = (letter: string): number => letter.charCodeAt(0);

/** Messages that a client sends. */
export const CLIENT = {
  bind: code('B'),
  close: code('C'),
  copyData: code('d'),
  copyDone: code('c'),
  copyFail: code('f'),
  describe: code('D'),
  execute: code('E'),
  flush: code('H'),
  functionCall: code('F'),
  parse: code('P'),
  password: code('p'),
  query: code('Q'),
  sync: code('S'),
  terminate: code('X'),
} as const;

/** Messages that a server sends. */
export const SERVER = {
  authentication: code('R'),
  backendKeyData: code('K'),
  bindComplete: code('2'),
  closeComplete: code('3'),
  commandComplete: code('C'),
  copyInResponse: code('G'),
  copyOutResponse: code('H'),
  dataRow: code('D'),
  emptyQueryResponse: code('I'),
  errorResponse: code('E'),
  noData: code('n'),
  noticeResponse: code('N'),
  notificationResponse: code('A'),
  parameterDescription: code('t'),
  parameterStatus: code('S'),
  parseComplete: code('1'),
  portalSuspended: code('s'),
  readyForQuery: code('Z'),
  rowDescription: code('T'),
} as const;
