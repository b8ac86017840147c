import { ChangeSignal } from '@apricotrill/standins';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Writes one event of a streamed answer, by the attempt's own name. */
export function getTokenEvent(name: string, index: number, content: string): string {
  const choices = [{ index: 0, delta: { content }, finish_reason: null }];
  return `id: ${index}\ndata: ${JSON.stringify({ id: name, choices })}\n\n`;
}

/** The closing chunk of a streamed answer. */
export function getFinishEvent(name: string): string {
  const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
  return `data: ${JSON.stringify({ id: name, choices })}\n\n`;
}

/** An engine that answers as a test wants, where the stand-in has no such fault. */
export class FakeEngine {
  private readonly server: Server;

  private count = 0;

  private readonly called = new ChangeSignal();

  /** @param answer - writes the answer; told the attempt's name */
  constructor(answer: (name: string, response: ServerResponse) => void) {
    this.server = createServer((request: IncomingMessage, response) => {
      request.resume();
      if (request.method === 'GET') {
        response.end(JSON.stringify({ running: 0, waiting: 0, measuredAt: 0, leaving: false }));
        return;
      }
      const name = String(request.headers['x-request-id']);
      request.once('end', () => {
        answer(name, response);
        this.count += 1;
        this.called.notify();
      });
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Waits until that many requests have come. */
  waitForCount(count: number): Promise<void> {
    return this.called.waitUntil(() => this.count >= count);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
