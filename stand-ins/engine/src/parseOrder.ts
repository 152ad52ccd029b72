import { z } from 'zod';
import type { EngineOrder } from './types';

const fence = z.number().int();
const order = z.discriminatedUnion('order', [
  z.object({ order: z.literal('loadVersion'), version: z.string(), fence }),
  z.object({ order: z.literal('loadAdapter'), adapter: z.string(), fence }),
  z.object({ order: z.literal('setRole'), role: z.string(), fence }),
]);

/** Reads an order to an engine; undefined when it is not one. */
export default function parseOrder(value: unknown): EngineOrder | undefined {
  const parsed = order.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
