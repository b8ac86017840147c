import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import { getLoadHeaders } from '../backend/backendResponses.js';
import type { ReportedLoad } from '../backend/backendResponses.js';
import { RunLog } from '../backend/RunLog.js';
import { ChatAnswer } from './ChatResponseWriter.js';
import { ChatExchange } from './ChatExchange.js';
import type { EngineRun } from './ChatExchange.js';
import { EngineBatch } from './EngineBatch.js';
import type { BatchEvent } from './EngineBatch.js';
import type { EngineBatchOptions } from './EngineBatchOptions.js';
import { getExpectedTokens } from './getExpectedTokens.js';
import { getPromptBlocks } from './getPromptBlocks.js';
import type { ChatRequest } from './parseChatRequest.js';
import type { CacheChange } from './PrefixCache.js';

/** Carries requests through the batch: from the parsed request to the last byte of its answer. */
export class EngineRequests {
  readonly batch: EngineBatch;

  readonly runs = new RunLog<EngineRun>();

  private readonly exchanges = new Map<string, ChatExchange>();

  private lastJob = 0;

  constructor(
    clock: Clock,
    options: Partial<EngineBatchOptions>,
    private readonly faults: BackendFaultInjector,
    private readonly onCacheChange: (change: CacheChange) => void,
  ) {
    this.batch = new EngineBatch({ clock, options, emit: (event) => this.handle(event) });
  }

  getReportedLoad(): ReportedLoad {
    const { value, measuredAt } = this.batch.getReportedLoad();
    return { ...value, slots: this.batch.options.slots, measuredAt };
  }

  /** @param isSilent - whether the engine no longer notices what becomes of the connection */
  run(request: ChatRequest, response: ServerResponse, isSilent: () => boolean): void {
    this.lastJob += 1;
    // Not the caller's id: two attempts that carry the same one are still two jobs.
    const id = String(this.lastJob);
    const tokens = getExpectedTokens(request.model, request.messages, request.maxTokens);
    const answer = new ChatAnswer(request, tokens, response, () => this.getHeaders(request));
    this.exchanges.set(id, new ChatExchange(request, answer, this.faults));
    response.on('close', () => {
      if (!isSilent()) {
        this.cancel(id);
      }
    });
    answer.begin();
    this.submit(id, request, tokens.length);
  }

  dispose(): void {
    this.exchanges.clear();
    this.batch.dispose();
  }

  private submit(id: string, request: ChatRequest, outputTokens: number): void {
    const prompt = getPromptBlocks(request.messages, this.batch.options.blockTokens);
    const { priority, startIndex } = request;
    this.batch.submit({ id, priority, startIndex, outputTokens, ...prompt });
  }

  private getHeaders(request: ChatRequest): OutgoingHttpHeaders {
    return { 'x-request-id': request.requestId, ...getLoadHeaders(this.getReportedLoad()) };
  }

  private cancel(id: string): void {
    this.exchanges.delete(id);
    this.batch.cancel(id);
  }

  private handle(event: BatchEvent): void {
    switch (event.kind) {
      case 'cache':
        this.onCacheChange(event.change);
        break;
      case 'started':
        this.exchanges.get(event.id)?.start(this.runs);
        break;
      case 'token':
        this.giveToken(event.id, event.index);
        break;
      case 'finished':
        this.finish(event.id, event.promptTokens);
        break;
      default:
        throw exhaustiveSwitchError(event);
    }
  }

  private giveToken(id: string, index: number): void {
    const exchange = this.exchanges.get(id);
    if (exchange?.isDropDue()) {
      this.cancel(id);
      exchange.drop();
    } else {
      exchange?.giveToken(index);
    }
  }

  private finish(id: string, promptTokens: number): void {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    if (exchange?.isDropDue()) {
      exchange.drop();
    } else {
      exchange?.finish(promptTokens);
    }
  }
}
