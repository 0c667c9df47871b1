/** Pulls large results until its time is over, in a process of its own: arguments are url and time. */
import pg from 'pg';

const BULK_TEXT = 'SELECT * FROM generate_series(1, 20000) g';
const WORKERS = 4;
const RETRY_MS = 5;

const [url = '', durationText = '0'] = process.argv.slice(2);
const untilMs = performance.now() + Number(durationText);
const pool = new pg.Pool({ connectionString: url, max: WORKERS });
pool.on('error', () => undefined);
await Promise.all(
  Array.from({ length: WORKERS }, async () => {
    while (performance.now() < untilMs) {
      await pool.query(BULK_TEXT).catch(() => {
        return new Promise((resolve) => setTimeout(resolve, RETRY_MS));
      });
    }
  }),
);
await pool.end();
