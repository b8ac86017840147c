import type { Clock, Timer } from '@apricotrill/utils';
import { HeapEstimate } from '../HeapEstimate/HeapEstimate.js';
import { HeldBytes } from '../HeldBytes/HeldBytes.js';
import type { Holding } from '../HeldBytes/Holding.js';
import { HeldKind } from '../HeldKind.js';
import { MemoryAdmission, Room } from '../MemoryAdmission/MemoryAdmission.js';
import { memoryOptions } from '../memoryOptions.js';
import type { ProcessMemory } from '../ProcessMemory/ProcessMemory.js';
import { ResponseBuffers } from '../ResponseBuffers/ResponseBuffers.js';

/** Dependencies of {@link MemoryGuard}. */
export interface MemoryGuardParts {
  clock: Clock;
  /** Bytes that may be held for others; undefined if they are not bounded. */
  budget: number | undefined;
  /** Bytes that objects may take on the heap of the engine; undefined if they are not bounded. */
  heapLimit: number | undefined;
  /** Memory of the process itself; absent if it is not bounded. */
  process?: ProcessMemory | undefined;
  /** Called when the first request is refused, and when none is refused any more. */
  onChanged: (isFull: boolean, held: number) => void;
}

/** What is known of a request before its body is read. */
export interface MemoryApplicant {
  /** From 0 to 1, which is the most urgent. */
  urgency: number;
  /** Bytes of its body. */
  bytes: number;
  /** Bytes that its head takes on the heap. */
  headBytes: number;
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

  private readonly heapAdmission: MemoryAdmission;

  private readonly processAdmission: MemoryAdmission;

  private readonly heapEstimate = new HeapEstimate();

  private readonly waiting: Waiting[] = [];

  private wasFull = false;

  constructor(private readonly parts: MemoryGuardParts) {
    const { budget, heapLimit, process } = parts;
    const { admittedShare, heapAdmittedShare, heapLeastUrgentShare, leastUrgentShare } =
      memoryOptions;
    const { processAdmittedShare, processLeastUrgentShare } = memoryOptions;
    this.admission = new MemoryAdmission({ budget, admittedShare, leastUrgentShare });
    this.heapAdmission = new MemoryAdmission({
      budget: heapLimit,
      admittedShare: heapAdmittedShare,
      leastUrgentShare: heapLeastUrgentShare,
    });
    this.processAdmission = new MemoryAdmission({
      budget: process?.limit,
      admittedShare: processAdmittedShare,
      leastUrgentShare: processLeastUrgentShare,
    });
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

  /** Bytes in use on the heap, without garbage. */
  get heapBytes(): number {
    return this.heapEstimate.get(this.held.heapTotal);
  }

  /** To be called after each collection of the whole heap, with the bytes that are in use then. */
  recordCollection(usedBytes: number): void {
    this.heapEstimate.recordCollection(usedBytes, this.held.heapTotal);
  }

  /**
   * Reserves the memory of a request.
   *
   * @returns undefined if there is none at the moment
   */
  tryAdmit(applicant: MemoryApplicant): Holding | undefined {
    return this.decide(applicant) === Room.Free
      ? this.open(applicant.headBytes, applicant.bytes)
      : undefined;
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
        return this.open(applicant.headBytes, applicant.bytes);
      case Room.Short:
        return this.wait(applicant);
      default:
        return undefined;
    }
  }

  private decide(applicant: MemoryApplicant): Room {
    const { urgency, bytes } = applicant;
    if (!this.hasHeap(applicant) || !this.hasProcessMemory(applicant)) {
      this.reportChange();
      return Room.Full;
    }
    const all = { urgency, bytes: bytes + memoryOptions.requestBytes };
    const isPreceded = this.waiting.some((other) => other.applicant.urgency >= urgency);
    const room = this.admission.decide(all, this.held.total);
    this.reportChange();
    return room === Room.Free && isPreceded && bytes > 0 ? Room.Short : room;
  }

  /** A few requests are taken on however much of the heap the daemon needs itself. */
  private hasHeap({ urgency, headBytes }: MemoryApplicant): boolean {
    const bytes = memoryOptions.requestBytes + headBytes;
    const room = this.heapAdmission.decide({ urgency, bytes }, this.heapBytes);
    return room === Room.Free || this.held.heapTotal + bytes <= memoryOptions.minBudgetBytes;
  }

  /**
   * Memory that was freed may stay with the process, so that a few requests are taken on even if it uses most
   * of its limit.
   */
  private hasProcessMemory({ urgency, bytes }: MemoryApplicant): boolean {
    const { process } = this.parts;
    if (process === undefined) {
      return true;
    }
    const all = bytes + memoryOptions.requestBytes;
    const room = this.processAdmission.decide({ urgency, bytes: 0 }, process.rss);
    return room === Room.Free || this.held.total + all <= memoryOptions.minBudgetBytes;
  }

  private open(headBytes: number, bodyBytes: number): Holding {
    const holding = this.held.open();
    holding.set(HeldKind.Request, memoryOptions.requestBytes);
    holding.set(HeldKind.RequestHead, headBytes);
    holding.set(HeldKind.RequestBody, bodyBytes);
    return holding;
  }

  /** The most urgent request is read first, and the oldest one of these. */
  private wait(applicant: MemoryApplicant): Promise<Holding | undefined> {
    return new Promise((resolve) => {
      const entry: Waiting = {
        applicant,
        holding: this.open(applicant.headBytes, 0),
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
    const isFull =
      this.admission.isFull || this.heapAdmission.isFull || this.processAdmission.isFull;
    if (isFull !== this.wasFull) {
      this.wasFull = isFull;
      this.parts.onChanged(isFull, this.held.total);
    }
  }
}
