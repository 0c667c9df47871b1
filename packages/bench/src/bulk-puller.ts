/** Runs queries with large results for a given time. Arguments: connection URL, duration in ms. */
import pg from 'pg';

const BULK_QUERY = 'SELECT * FROM generate_series(1, 20000) g';
const CONNECTIONS = 4;
const RETRY_DELAY_MS = 5;

const [url = '', durationText = '0'] = process.argv.slice(2);
const deadlineMs = performance.now() + Number(durationText);
const pool = new pg.Pool({ connectionString: url, max: CONNECTIONS });
pool.on('error', () => undefined);
await Promise.all(
  Array.from({ length: CONNECTIONS }, async () => {
    while (performance.now() < deadlineMs) {
      await pool.query(BULK_QUERY).catch(() => {
        return new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
      });
    }
  }),
);
await pool.end();
