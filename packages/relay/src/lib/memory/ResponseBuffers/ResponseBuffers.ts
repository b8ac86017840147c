import type { HeldBytes } from '../HeldBytes/HeldBytes.js';

/** A response that can be read later. */
export interface PausableResponse {
  pauseForMemory(): void;
  resumeForMemory(): void;
}

/** Dependencies of {@link ResponseBuffers}. */
export interface ResponseBuffersParts {
  held: HeldBytes;
  /** Whether more is held than the bound allows. */
  isExceeded: () => boolean;
}

/**
 * Pauses the reading of plain responses while memory is full. They are buffered until they are whole, since
 * one that ends early must not reach its caller.
 *
 * The oldest of them is always read on: if all of them waited for each other's memory, none would end.
 */
export class ResponseBuffers {
  /** In the order in which they began to arrive. */
  private readonly open = new Set<PausableResponse>();

  private readonly paused = new Set<PausableResponse>();

  constructor(private readonly parts: ResponseBuffersParts) {
    parts.held.onDecreased(() => this.review());
  }

  /** Number of responses that are paused for lack of memory. */
  get pausedCount(): number {
    return this.paused.size;
  }

  /** To be called after a part of the response has arrived and is counted. */
  recordPart(response: PausableResponse): void {
    this.open.add(response);
    const isOldest = this.getOldest() === response;
    if (!isOldest && !this.paused.has(response) && this.parts.isExceeded()) {
      this.paused.add(response);
      response.pauseForMemory();
    }
  }

  /** To be called when nothing more of the response arrives. */
  remove(response: PausableResponse): void {
    this.open.delete(response);
    this.paused.delete(response);
    this.review();
  }

  private getOldest(): PausableResponse | undefined {
    return this.open.values().next().value;
  }

  private review(): void {
    if (this.paused.size === 0) {
      return;
    }
    const oldest = this.getOldest();
    const isExceeded = this.parts.isExceeded();
    [...this.paused]
      .filter((response) => !isExceeded || response === oldest)
      .forEach((response) => {
        this.paused.delete(response);
        response.resumeForMemory();
      });
  }
}
