import { ChangeSignal } from '@apricotrill/standins';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Returns one token event of a streamed response, with the given attempt's id. */
export function getTokenEvent(attemptId: string, index: number, content: string): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: null }];
  return `id: ${index}\ndata: ${JSON.stringify({ id: attemptId, choices })}\n\n`;
}

/** Returns the final chunk of a streamed response. */
export function getFinishEvent(attemptId: string): string {
  const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
  return `data: ${JSON.stringify({ id: attemptId, choices })}\n\n`;
}

/**
 * An engine whose responses the test writes itself, for faults that the stand-in does not support.
 */
export class FakeEngine {
  private readonly server: Server;

  private requestCount = 0;

  private readonly requestReceived = new ChangeSignal();

  /** @param respond - writes the response to the attempt with the given id */
  constructor(respond: (attemptId: string, response: ServerResponse) => void) {
    this.server = createServer((request: IncomingMessage, response) => {
      request.resume();
      if (request.method === 'GET') {
        response.end(JSON.stringify({ running: 0, waiting: 0, measuredAt: 0, leaving: false }));
        return;
      }
      const attemptId = String(request.headers['x-request-id']);
      request.once('end', () => {
        respond(attemptId, response);
        this.requestCount += 1;
        this.requestReceived.notify();
      });
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Waits until at least this many requests have been received. */
  waitForRequestCount(count: number): Promise<void> {
    return this.requestReceived.waitUntil(() => this.requestCount >= count);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
