/** The calls to the platform: POST /promote, with fences. */
import { createServer } from 'node:http';
import type { Database } from './database.js';
import type { Recorder } from './record.js';

export interface Promotion {
  readonly service: string;
  readonly id: string;
  readonly holder: string;
  readonly token: number;
  readonly status: number;
}

export interface CloudApi {
  readonly address: string;
  readonly promotions: Promotion[];
  readonly databases: Database[];
  readonly close: () => void;
}

export async function startCloud(ip: string, recorder: Recorder): Promise<CloudApi> {
  const highest = new Map<string, number>();
  const promotions: Promotion[] = [];
  const databases: Database[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {
        Service: string;
        Id: string;
      };
      const token = Number(request.headers['bramleykeel-fence-token']);
      const holder = String(request.headers['bramleykeel-duty-holder']);
      const database = databases.find(({ name }) => name === body.Service);
      let status = 409;
      if (token >= (highest.get(body.Service) ?? 0)) {
        highest.set(body.Service, token);
        status = database?.promote(body.Id) ?? 409;
      }
      promotions.push({ service: body.Service, id: body.Id, holder, token, status });
      recorder.note(`platform: promote ${body.Id} by ${holder} with token ${token}: ${status}`);
      response.writeHead(status).end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, ip, resolve));
  const bound = server.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  return {
    address: `${ip}:${port}`,
    promotions,
    databases,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
