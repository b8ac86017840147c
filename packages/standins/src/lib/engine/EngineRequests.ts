import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import { getLoadHeaders } from '../backend/backendResponses.js';
import type { ReportedLoad } from '../backend/backendResponses.js';
import { RunLog } from '../backend/RunLog.js';
import { ChatResponseWriter } from './ChatResponseWriter.js';
import { ChatExchange } from './ChatExchange.js';
import type { EngineRun } from './ChatExchange.js';
import { EngineBatch } from './EngineBatch.js';
import type { BatchEvent } from './EngineBatch.js';
import type { EngineBatchOptions } from './EngineBatchOptions.js';
import { getExpectedTokens } from './getExpectedTokens.js';
import { getPromptBlocks } from './getPromptBlocks.js';
import type { ChatRequest } from './parseChatRequest.js';
import type { CacheChange } from './PrefixCache.js';

/** Runs requests in the batch, from the parsed request to the last byte of the response. */
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
    this.batch = new EngineBatch({ clock, options, emit: (event) => this.handleEvent(event) });
  }

  getReportedLoad(): ReportedLoad {
    const { value, measuredAt } = this.batch.getReportedLoad();
    return { ...value, slots: this.batch.options.slots, measuredAt };
  }

  /** @param isSilenced - whether the engine no longer notices that the connection is closed */
  run(request: ChatRequest, response: ServerResponse, isSilenced: () => boolean): void {
    this.lastJob += 1;
    // The caller's id is not used, since two attempts with the same id are two jobs.
    const id = String(this.lastJob);
    const tokens = getExpectedTokens(request.model, request.messages, request.maxTokens);
    const writer = new ChatResponseWriter(request, tokens, response, () =>
      this.getHeaders(request),
    );
    this.exchanges.set(id, new ChatExchange(request, writer, this.faults));
    response.on('close', () => {
      if (!isSilenced()) {
        this.cancel(id);
      }
    });
    writer.sendHead();
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

  private handleEvent(event: BatchEvent): void {
    switch (event.kind) {
      case 'cache':
        this.onCacheChange(event.change);
        break;
      case 'started':
        this.exchanges.get(event.id)?.start(this.runs);
        break;
      case 'token':
        this.sendToken(event.id, event.index);
        break;
      case 'finished':
        this.finish(event.id, event.promptTokens);
        break;
      default:
        throw exhaustiveSwitchError(event);
    }
  }

  private sendToken(id: string, index: number): void {
    const exchange = this.exchanges.get(id);
    if (exchange?.isDropDue()) {
      this.cancel(id);
      exchange.breakConnection();
    } else {
      exchange?.sendToken(index);
    }
  }

  private finish(id: string, promptTokens: number): void {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    if (exchange?.isDropDue()) {
      exchange.breakConnection();
    } else {
      exchange?.finish(promptTokens);
    }
  }
}
