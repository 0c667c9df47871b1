/** Extracts the log lines of one request, and those that show the state of its group at that time. */

export interface LogLine {
  readonly atMs: number;
  /** Text before the JSON object, such as a process name that a log collector added. */
  readonly from: string;
  readonly part: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Trace {
  /** Lines of the request and related lines around it, ordered by time. */
  readonly lines: readonly LogLine[];
  /** Number of lines that belong to the request itself. */
  readonly requestLineCount: number;
}

/** The state that affects a request was logged at most this long before it. */
const CONTEXT_BEFORE_MS = 10_000;
/** Lines logged within this time after a request show which changes were in progress during it. */
const CONTEXT_AFTER_MS = 1_000;

/** Parses one log line; returns `undefined` if bramleykeel did not write it or it is truncated. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"level"');
  if (start === -1) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // A process that is killed while it writes leaves a truncated line.
    return undefined;
  }
  const { level, time, part, msg, ...fields } = value as Record<string, unknown>;
  if (level === undefined || typeof time !== 'number' || typeof part !== 'string') return undefined;
  const message = typeof msg === 'string' ? msg : '';
  return { atMs: time, from: text.slice(0, start).trim(), part, message, fields };
}

/**
 * Collects the lines of a request, and related lines: those of no request that name its group, its
 * customer, or the incarnation of an entry that one of them was assigned to.
 *
 * @example
 * traceRequest(readFileSync(0, 'utf8').split('\n'), '5c0e7a21d94b36f8');
 */
export function traceRequest(logTexts: Iterable<string>, request: string): Trace {
  const lines = [...logTexts].map(parseLogLine).filter((line) => line !== undefined);
  const requestLines = lines.filter(({ fields }) => fields.request === request);
  if (requestLines.length === 0) return { lines: [], requestLineCount: 0 };
  const groups = collectFieldValues(requestLines, 'group');
  const customers = collectFieldValues(requestLines, 'customer');
  const isOfGroupOrCustomer = ({ fields }: LogLine) =>
    groups.has(fields.group) || customers.has(fields.customer);
  const incarnations = collectFieldValues(lines.filter(isOfGroupOrCustomer), 'incarnation');
  const times = requestLines.map(({ atMs }) => atMs);
  const fromMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const untilMs = Math.max(...times) + CONTEXT_AFTER_MS;
  const isRelated = (line: LogLine) => {
    const { fields, atMs } = line;
    if (fields.request !== undefined || atMs < fromMs || atMs > untilMs) return false;
    return isOfGroupOrCustomer(line) || incarnations.has(fields.incarnation);
  };
  const found = lines.filter((line) => requestLines.includes(line) || isRelated(line));
  return {
    lines: found.sort((left, right) => left.atMs - right.atMs),
    requestLineCount: requestLines.length,
  };
}

/** Returns the values of a field; `undefined` is left out so that lines without the field never match. */
function collectFieldValues(lines: readonly LogLine[], field: string): ReadonlySet<unknown> {
  return new Set(lines.map(({ fields }) => fields[field]).filter((name) => name !== undefined));
}

/** Formats a trace; times are relative to the first line of the request, whose lines are marked `*`. */
export function formatTrace({ lines }: Trace, request: string): string {
  const first = lines.find(({ fields }) => fields.request === request);
  return lines
    .map(({ atMs, from, part, message, fields }) => {
      const mark = fields.request === request ? '*' : ' ';
      const offset = `${mark}${String(atMs - (first?.atMs ?? atMs)).padStart(7)} ms`;
      const pairs = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
      return [offset, from, part, message, ...pairs].filter((text) => text !== '').join(' ');
    })
    .join('\n');
}
