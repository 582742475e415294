/** @file address_func.h Questions about addresses of this machine. */

#pragma once

#include <cstdint>
#include <string>

namespace wisteriahoist {

/** @return Whether another socket has the address, so that this process can't listen on it. */
bool isAddressInUse(const std::string &ip, uint16_t port);

} // namespace wisteriahoist
