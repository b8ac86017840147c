import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { AdmissionOptions } from '../admissionOptions.js';
import type { EngineAdmissionParts } from '../EngineAdmission/EngineAdmission.js';
import { EngineRoom } from '../EngineRoom/EngineRoom.js';
import type { EngineDemand } from '../EngineRoom/EngineRoom.js';
import { updateMissingTokens } from '../WaitingApplicant.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';

/** Inputs of {@link GroupRooms}. */
export interface GroupRoomsInputs extends Pick<
  EngineAdmissionParts,
  'getEngines' | 'getGroupEngines' | 'getProfile'
> {
  now: Milliseconds;
  /** Maximum time that the prompts pending at an engine may take. */
  maxBacklog: Milliseconds;
  options: AdmissionOptions;
}

/** An engine that an applicant may go to, and what the applicant needs there. */
export interface Option {
  room: EngineRoom;
  demand: EngineDemand;
}

/** Expected wait for the first token if the applicant begins there now. */
export function getWait({ room, demand }: Option): Milliseconds {
  return room.getExpectedWait(demand.missingTokens);
}

/** The option with the earliest first token. */
export function getSoonest(options: readonly Option[]): Option {
  return options.reduce((best, option) => (getWait(option) < getWait(best) ? option : best));
}

/** The rooms of the engines of a group at one moment. */
export class GroupRooms {
  private readonly rooms = new Map<ReplicaState, EngineRoom>();

  constructor(private readonly inputs: GroupRoomsInputs) {}

  getAll(): EngineRoom[] {
    return this.inputs.getGroupEngines().map((state) => this.getRoom(state));
  }

  /** The engines that an applicant may go to. */
  getFor({ applicant }: WaitingApplicant): EngineRoom[] {
    return this.inputs
      .getEngines(applicant)
      .filter(({ replica }) => !applicant.excludedReplicas.has(replica.id))
      .map((state) => this.getRoom(state));
  }

  /** Computes the room of an engine again after a request has begun there. */
  update(state: ReplicaState): void {
    this.rooms.delete(state);
  }

  hasOpenEngine(): boolean {
    return this.getAll().some(({ isOpen }) => isOpen);
  }

  /** Number of requests of the usual size that could begin at once. */
  countRequests(): number {
    const rooms = this.getAll();
    const running = rooms.flatMap(({ state }) => [...state.running]);
    const tokens = running.reduce((sum, { missingTokens }) => sum + missingTokens, 0);
    const mean = running.length === 0 ? 0 : tokens / running.length;
    return rooms.reduce((sum, room) => sum + room.countRequests(mean), 0);
  }

  getOptions(waiting: WaitingApplicant): Option[] {
    const rooms = this.getFor(waiting);
    return this.createOptions(waiting, rooms, rooms);
  }

  getOpenOptions(waiting: WaitingApplicant): Option[] {
    const rooms = this.getFor(waiting);
    const open = rooms.filter(({ isOpen }) => isOpen);
    return open.length === 0 ? [] : this.createOptions(waiting, rooms, open);
  }

  /** @param rooms - all engines that the applicant may go to */
  private createOptions(
    waiting: WaitingApplicant,
    rooms: readonly EngineRoom[],
    selected: readonly EngineRoom[],
  ): Option[] {
    const engines = rooms.map(({ state }) => state);
    updateMissingTokens(waiting, engines, this.inputs.now);
    const { missingByEngine, memoryTokens } = waiting;
    return selected.map((room) => {
      const missingTokens = missingByEngine.get(room.state) ?? 0;
      return { room, demand: { missingTokens, memoryTokens } };
    });
  }

  private getRoom(state: ReplicaState): EngineRoom {
    const known = this.rooms.get(state);
    if (known !== undefined) {
      return known;
    }
    const { getProfile, maxBacklog, now, options } = this.inputs;
    const room = new EngineRoom({ state, profile: getProfile(), now, maxBacklog, options });
    this.rooms.set(state, room);
    return room;
  }
}
