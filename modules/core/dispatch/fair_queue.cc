#include "core/dispatch/fair_queue.h"

#include <algorithm>
#include <utility>

namespace dogwoodfall {

bool Push(FairQueue& queue, QueuedTask task) {
  const TaskKey key = KeyOf(task);
  if (queue.index.count(key) > 0 || queue.paused.count(key) > 0)
    return false;
  CustomerQueue& customer = queue.customers[task.customer];
  // A customer whose queue was empty gets no credit for the idle time.
  if (customer.tasks.empty())
    customer.virtual_time_ms =
        std::max(customer.virtual_time_ms, queue.virtual_now_ms);
  const QueueRank rank{
      task.remaining_work.count + kAgingRate * task.queued_at.count,
      -task.expected_run_time.count, queue.next_number++};
  queue.index.emplace(key, QueuePlace{task.customer, rank});
  customer.tasks.emplace(rank, std::move(task));
  return true;
}

void PushPaused(FairQueue& queue, QueuedTask task, Millis until) {
  const TaskKey key = KeyOf(task);
  queue.paused.emplace(key, PausedTask{std::move(task), until});
  queue.pause_ends.emplace(until, key);
}

void ResumePausedTasks(FairQueue& queue, Millis now) {
  while (!queue.pause_ends.empty() && queue.pause_ends.begin()->first <= now) {
    const auto [until, key] = *queue.pause_ends.begin();
    const auto found = queue.paused.find(key);
    queue.pause_ends.erase(queue.pause_ends.begin());
    // The task may have been removed, or removed and paused again.
    if (found == queue.paused.end() || found->second.until != until)
      continue;
    QueuedTask task = std::move(found->second.task);
    queue.paused.erase(found);
    Push(queue, std::move(task));
  }
}

std::optional<QueuedTask> Remove(FairQueue& queue, const TaskKey& key) {
  const auto paused = queue.paused.find(key);
  if (paused != queue.paused.end()) {
    QueuedTask task = std::move(paused->second.task);
    queue.paused.erase(paused);
    return task;
  }
  const auto indexed = queue.index.find(key);
  if (indexed == queue.index.end())
    return std::nullopt;
  CustomerQueue& customer = queue.customers.at(indexed->second.customer);
  const auto found = customer.tasks.find(indexed->second.rank);
  QueuedTask task = std::move(found->second);
  customer.tasks.erase(found);
  queue.index.erase(indexed);
  return task;
}

size_t SizeOf(const FairQueue& queue) {
  return queue.index.size() + queue.paused.size();
}

size_t SizeOf(const FairQueue& queue, const CustomerId& customer) {
  const auto found = queue.customers.find(customer);
  return found == queue.customers.end() ? 0 : found->second.tasks.size();
}

void Charge(FairQueue& queue,
            const CustomerId& customer,
            Millis expected_run_time,
            uint32_t weight) {
  CustomerQueue& entry = queue.customers[customer];
  queue.virtual_now_ms = std::max(queue.virtual_now_ms, entry.virtual_time_ms);
  entry.virtual_time_ms +=
      static_cast<double>(std::max<int64_t>(expected_run_time.count, 1)) /
      std::max(weight, 1U);
}

std::vector<CustomerId> ServingOrder(const FairQueue& queue) {
  std::vector<std::pair<double, CustomerId>> waiting;
  for (const auto& [id, customer] : queue.customers) {
    if (!customer.tasks.empty())
      waiting.emplace_back(customer.virtual_time_ms, id);
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<CustomerId> ordered_customers;
  ordered_customers.reserve(waiting.size());
  for (auto& entry : waiting)
    ordered_customers.push_back(std::move(entry.second));
  return ordered_customers;
}

}  // namespace dogwoodfall
