import type { Clock, Timer } from '@apricotrill/utils';
import { HeldBytes } from '../HeldBytes/HeldBytes.js';
import type { Holding } from '../HeldBytes/Holding.js';
import { HeldKind } from '../HeldKind.js';
import { MemoryAdmission, Room } from '../MemoryAdmission/MemoryAdmission.js';
import type { MemoryApplicant } from '../MemoryAdmission/MemoryAdmission.js';
import { memoryOptions } from '../memoryOptions.js';
import { ResponseBuffers } from '../ResponseBuffers/ResponseBuffers.js';

/** Dependencies of {@link MemoryGuard}. */
export interface MemoryGuardParts {
  clock: Clock;
  /** Bytes that may be held for others; undefined if they are not bounded. */
  budget: number | undefined;
  /** Called when the first request is refused, and when none is refused any more. */
  onChanged: (isFull: boolean, held: number) => void;
}

/** A request whose body does not fit at the moment. */
interface Waiting {
  applicant: MemoryApplicant;
  holding: Holding;
  timer: Timer;
  resolve: (holding: Holding | undefined) => void;
}

/** Takes requests on only as far as there is memory for them, and counts what they hold. */
export class MemoryGuard {
  readonly held = new HeldBytes();

  /** The plain responses that are being received. */
  readonly buffers: ResponseBuffers;

  private readonly admission: MemoryAdmission;

  private readonly waiting: Waiting[] = [];

  private wasFull = false;

  constructor(private readonly parts: MemoryGuardParts) {
    this.admission = new MemoryAdmission(parts);
    this.buffers = new ResponseBuffers({
      held: this.held,
      isExceeded: () => this.admission.isExceeded(this.held.total),
    });
    this.held.onDecreased(() => this.review());
  }

  /** Bytes that may be held for others; undefined if they are not bounded. */
  get budget(): number | undefined {
    return this.parts.budget;
  }

  /**
   * Reserves the memory of a request.
   *
   * @returns undefined if there is none at the moment
   */
  tryAdmit(applicant: MemoryApplicant): Holding | undefined {
    return this.decide(applicant) === Room.Free ? this.open(applicant.bytes) : undefined;
  }

  /**
   * Reserves the memory of a request. A body that does not fit waits for a short time, unless nothing of its
   * urgency is taken on at all.
   *
   * @returns undefined if there is none in time
   */
  admit(applicant: MemoryApplicant): Holding | undefined | Promise<Holding | undefined> {
    switch (this.decide(applicant)) {
      case Room.Free:
        return this.open(applicant.bytes);
      case Room.Short:
        return this.wait(applicant);
      default:
        return undefined;
    }
  }

  private decide({ urgency, bytes }: MemoryApplicant): Room {
    const all = { urgency, bytes: bytes + memoryOptions.requestBytes };
    const isPreceded = this.waiting.some(({ applicant }) => applicant.urgency >= urgency);
    const room = this.admission.decide(all, this.held.total);
    this.reportChange();
    return room === Room.Free && isPreceded && bytes > 0 ? Room.Short : room;
  }

  private open(bodyBytes: number): Holding {
    const holding = this.held.open();
    holding.set(HeldKind.Request, memoryOptions.requestBytes);
    holding.set(HeldKind.RequestBody, bodyBytes);
    return holding;
  }

  /** The most urgent request is read first, and the oldest one of these. */
  private wait(applicant: MemoryApplicant): Promise<Holding | undefined> {
    return new Promise((resolve) => {
      const entry: Waiting = {
        applicant,
        holding: this.open(0),
        timer: this.parts.clock.setTimer(memoryOptions.maxBodyWait, () => {
          this.waiting.splice(this.waiting.indexOf(entry), 1);
          entry.holding.release();
          resolve(undefined);
        }),
        resolve,
      };
      const next = this.waiting.findIndex((other) => other.applicant.urgency < applicant.urgency);
      this.waiting.splice(next === -1 ? this.waiting.length : next, 0, entry);
    });
  }

  private review(): void {
    while (this.waiting.length > 0) {
      const [{ applicant, holding, timer, resolve }] = this.waiting as [Waiting];
      if (this.admission.decide(applicant, this.held.total) !== Room.Free) {
        break;
      }
      this.waiting.shift();
      timer.cancel();
      holding.set(HeldKind.RequestBody, applicant.bytes);
      resolve(holding);
    }
    this.reportChange();
  }

  private reportChange(): void {
    const { isFull } = this.admission;
    if (isFull !== this.wasFull) {
      this.wasFull = isFull;
      this.parts.onChanged(isFull, this.held.total);
    }
  }
}
