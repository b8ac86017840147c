/**
 * A worker thread that simulates an engine: it responds to observations and reports its traffic.
 */
import { createServer } from 'node:http';
import { parentPort, workerData } from 'node:worker_threads';
import type { AddressInfo, Socket } from 'node:net';

/** The worker's settings. */
interface StateServerData {
  /** Whether each response closes its connection, as when observations are a minute apart. */
  closesConnections: boolean;
}

const { closesConnections } = workerData as StateServerData;
const sockets: Socket[] = [];
const body = JSON.stringify({
  loaded: ['kielimalli-suuri:tarjous@12'],
  loading: [],
  role: 'mixed',
  highestFencingNumber: 123_456_789,
});

const server = createServer((_request, response) => {
  const headers = {
    'content-type': 'application/json',
    ...(closesConnections && { connection: 'close' }),
  };
  response.writeHead(200, headers).end(body);
});

server.on('connection', (socket: Socket) => {
  sockets.push(socket);
});

parentPort?.on('message', () => {
  const bytes = sockets.reduce(
    (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
    0,
  );
  parentPort?.postMessage({ kind: 'traffic', bytes });
  server.close();
});

server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage({ kind: 'listening', port: (server.address() as AddressInfo).port });
});
